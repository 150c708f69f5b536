package tamarindroute.policy;

import tamarindroute.numeric.Hashing;

/** The policy's pseudo-random numbers, one sequence for all uses, repeatable from its seed. */
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
