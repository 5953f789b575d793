/** Partition of the table that holds one row for each version of the configuration. */
export const CONFIGURATION_PARTITION = 'configuration';
