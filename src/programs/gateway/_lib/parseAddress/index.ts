/** Splits an address IP:PORT, which the settings schema has validated. */
export const parseAddress = (address: string): { readonly host: string; readonly port: number } => {
  const [host = '', port = '0'] = address.split(':');
  return { host, port: Number(port) };
};
