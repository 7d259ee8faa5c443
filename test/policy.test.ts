import { describe, expect, it } from 'vitest';
import { readPolicy } from '../src/cli/policy.js';
import { box } from './fakes/world.js';

describe('a policy file', () => {
  it('sets what it names and leaves the rest', async () => {
    const p = await readPolicy('p.cel', '{\n  "idle_s": machine_spot ? 90.0 : machine_price * 10.0\n}');
    expect(p.idleTimeoutS({ zone: 'a', spot: true, type: box })).toBe(90);
    expect(p.idleTimeoutS({ zone: 'a', spot: false, type: box })).toBe(10);
    expect(p.silenceTimeoutS({ zone: 'a', spot: false, type: box })).toBe(11);
  });

  it('is refused with line, column and reason', async () => {
    await expect(readPolicy('p.cel', '{\n  "idle_s": machine_spott ? 1.0 : 2.0\n}')).rejects.toThrow(
      /^p\.cel:2:13: .*machine_spott/,
    );
    await expect(readPolicy('p.cel', '{"idle_s": 1.0')).rejects.toThrow(/^p\.cel:1:\d+: /);
    await expect(readPolicy('p.cel', '{"idle_s": "long"}')).rejects.toThrow(/idle_s/);
    await expect(readPolicy('p.cel', '{"idel_s": 1.0}')).rejects.toThrow(/idel_s/);
  });
});
