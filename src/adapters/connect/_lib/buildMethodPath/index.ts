import type { DescMethod } from '@bufbuild/protobuf';

/** Content type of protobuf messages in unary calls of the Connect protocol. */
export const MESSAGE_TYPE = 'application/proto';

/** Builds the URL path of a method in the Connect protocol. */
export const buildMethodPath = ({ name, parent }: Pick<DescMethod, 'name' | 'parent'>): string =>
  `/${parent.typeName}/${name}`;
