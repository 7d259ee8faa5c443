import { describe, expect, it } from 'vitest';
import { readPolicy } from '../src/cli/policy.js';
import { box } from './fakes/world.js';

describe('a policy file', () => {
  it('overrides the settings that it names and leaves the defaults of the others', async () => {
    const policy = await readPolicy('p.cel', '{\n  "idle_s": machine_spot ? 90.0 : machine_price * 10.0\n}');
    expect(policy.idleTimeoutS({ zone: 'a', spot: true, type: box })).toBe(90);
    expect(policy.idleTimeoutS({ zone: 'a', spot: false, type: box })).toBe(10);
    expect(policy.silenceTimeoutS({ zone: 'a', spot: false, type: box })).toBe(11);
  });

  it('is rejected with file, position and reason, or with the wrong setting', async () => {
    await expect(readPolicy('p.cel', '{\n  "idle_s": machine_spott ? 1.0 : 2.0\n}')).rejects.toThrow(
      /^p\.cel:2:13: .*machine_spott/,
    );
    await expect(readPolicy('p.cel', '{"idle_s": 1.0')).rejects.toThrow(/^p\.cel:1:\d+: /);
    await expect(readPolicy('p.cel', '{"idle_s": "long"}')).rejects.toThrow(/idle_s/);
    await expect(readPolicy('p.cel', '{"idel_s": 1.0}')).rejects.toThrow(/idel_s/);
  });
});
