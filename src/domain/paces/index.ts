export * from './types';
