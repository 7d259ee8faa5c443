/** What the cloud rents out: machines of one type in one zone, spot or on demand. */

/** One kind of machine that can be rented. */
export interface Offer {
  type: string;
  zone: string;
  spot: boolean;
}

/** Key of an offer in maps and log lines. */
export const offerKey = ({ type, zone, spot }: Offer): string => `${type}|${zone}|${spot}`;
