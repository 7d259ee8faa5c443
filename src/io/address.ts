export function hostPort(address: string): { host: string; port: number } {
  const cut = address.lastIndexOf(':');
  return { host: address.slice(0, cut), port: Number(address.slice(cut + 1)) };
}
