// Tests that load the machine and measure a process, or that require times which a busy machine does not
// keep: one after the other, beside no others. They are those that the configuration of the other tests
// leaves out.
import others from './ava.config.js';

export default {
  ...others,
  files: others.files.filter((file) => file.startsWith('!')).map((file) => file.slice(1)),
  concurrency: 1,
};
