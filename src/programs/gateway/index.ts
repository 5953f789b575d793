export { startGateway, type Gateway } from './startGateway';
