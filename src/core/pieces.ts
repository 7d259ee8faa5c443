/** Cuts a list so that each piece fits a record, a transaction or a request. */
export function pieces<T>(all: readonly T[], size: number): T[][] {
  const out: T[][] = [];
  for (let i = 0; i < all.length; i += size) out.push(all.slice(i, i + size));
  return out;
}
