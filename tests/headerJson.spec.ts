import {validateHeaderValue} from 'node:http';
import {headerJson} from '../src/core/headerJson';

describe('JSON in a header', () => {
  it('should encode any text in characters that are valid in a header', () => {
    const value = {customer: 'Zürich 北 \u007f\n', count: 1};
    const text = headerJson(value);
    expect(() =>
      validateHeaderValue('marlpulley-dispatch', text)
    ).not.toThrow();
    expect(JSON.parse(text)).toEqual(value);
  });
});
