import type { DescMethod } from '@bufbuild/protobuf';

/** Content type of a message in the protobuf format (Connect protocol, unary calls). */
export const MESSAGE_TYPE = 'application/proto';

/** Builds the path under which a method is called (Connect protocol). */
export const buildMethodPath = ({ name, parent }: Pick<DescMethod, 'name' | 'parent'>): string =>
  `/${parent.typeName}/${name}`;
