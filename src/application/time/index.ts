export { waitDelay } from './waitDelay';
