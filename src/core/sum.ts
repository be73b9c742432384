/** Sum of numbers; 0 for none. */
export function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
