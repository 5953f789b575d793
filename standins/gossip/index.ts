export { createGossipFleet } from './createGossipFleet';
