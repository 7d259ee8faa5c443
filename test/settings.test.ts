import { describe, expect, it } from 'vitest';
import { addressProblem, parseHostPort } from '../src/io/address.js';
import { readSettings } from '../src/wire/settings.js';
import { settingsFor } from './fakes/world.js';

describe('addresses in the settings', () => {
  it('are an IP address or a host name with a port', () => {
    for (const valid of [
      '10.0.0.1:8080',
      'ostler-0:80',
      'state.example.org:2379',
      '[::1]:9000',
      '127.0.0.1:0',
    ])
      expect(addressProblem(valid)).toBeNull();
    expect(parseHostPort('[fe80::2]:8081')).toEqual({ host: 'fe80::2', port: 8081 });
  });

  it('are rejected with what was expected and what was found', () => {
    const problems: Record<string, string> = {
      nowhere: 'expected host:port, found "nowhere"',
      '10.0.0.1:': 'expected host:port, found "10.0.0.1:"',
      '10.0.0.1:70000': 'expected a port of at most 65535, found 70000',
      '10.0.0.256:80': 'expected an IP address or a host name, found "10.0.0.256"',
      '10.0.0.1.5:80': 'expected an IP address or a host name, found "10.0.0.1.5"',
      '[10::0::1]:80': 'expected an IP address or a host name, found "10::0::1"',
      'no_host!:80': 'expected an IP address or a host name, found "no_host!"',
      '224.0.0.1:80': 'expected the address of one host, found 224.0.0.1 (multicast)',
      '255.255.255.255:80': 'expected the address of one host, found 255.255.255.255 (broadcast)',
    };
    for (const [address, problem] of Object.entries(problems)) expect(addressProblem(address)).toBe(problem);
  });

  it('are reported with the field that holds the invalid one', () => {
    const settings = settingsFor(0);
    expect(() => readSettings({ ...settings, serve_on: '224.0.0.1:80' })).toThrow(
      'settings: serve_on: expected the address of one host, found 224.0.0.1 (multicast)',
    );
    const external = { ...settings.external, state: '10.0.0.300:2379' };
    expect(() => readSettings({ ...settings, external })).toThrow(
      /^settings: external\.state: expected an IP/,
    );
  });
});
