package tamarindroute.policy;

import tamarindroute.numeric.Hashing;

/**
 * The pseudo-random numbers of one policy. All uses draw from this one sequence, which its seed
 * determines.
 */
final class RandomSequence {

  private final long seed;
  private long index;

  RandomSequence(long seed) {
    this.seed = seed;
  }

  /** Returns the next number, between 0 and 1, both excluded. */
  double next() {
    return Hashing.pseudoRandom(seed, index++);
  }
}
