export { RelayCommand } from './RelayCommand';
