package tamarindroute.forms;

/**
 * What a cache or a fill source has said of itself. A request goes there in a form and its answer
 * comes in the same, so it speaks what it both reads and writes.
 */
public record Spoken(Forms reads, Forms writes) {

  /** Whoever tells nothing speaks the oldest. */
  public static final Spoken OLDEST = new Spoken(Forms.OLDEST, Forms.OLDEST);

  public Forms both() {
    return reads.and(writes);
  }
}
