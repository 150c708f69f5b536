package tamarindroute.forms;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * In which form each numbered view went out first, here or as other members tell. Entries hold as
 * long as a repeat could come. A repeat of which nothing is held may have run in any form: its
 * entry was dropped for want of room, or the word of it is still on its way here.
 */
public final class FirstForms {

  /** What is held of a view. */
  public sealed interface Held {
    /** It went out first in this form. */
    record First(int version) implements Held {}

    /** Its client asks for the first time, so it has run nowhere. */
    record Fresh() implements Held {}

    /**
     * Nothing is held of a repeat, or two tell different forms: taken as may-have-run in another
     * form.
     */
    record MayHaveRun() implements Held {}
  }

  private record Entry(int version, boolean torn, Duration until) {}

  private final int most;
  private final Duration kept;
  private final Map<Long, Entry> entries = new LinkedHashMap<>();

  /** For so many views, each for the longest time in which its repeat could come. */
  public FirstForms(int most, Duration kept) {
    this.most = most;
    this.kept = kept;
  }

  /**
   * A view has gone out, or a member tells that it had so long ago. The first told holds; another
   * form tears it.
   */
  public void went(long view, int version, Duration age, Duration now) {
    Duration until = now.minus(age).plus(kept);
    if (until.compareTo(now) <= 0) {
      return;
    }
    entries.merge(
        view,
        new Entry(version, false, until),
        (held, told) ->
            new Entry(
                held.version,
                held.torn || held.version != told.version,
                held.until.compareTo(told.until) > 0 ? held.until : told.until));
    forget(now);
  }

  /** What is held of a view that its client asks for, for the first time or not. */
  public Held of(long view, boolean firstTime, Duration now) {
    Entry entry = entries.get(view);
    if (entry != null && entry.until.compareTo(now) > 0) {
      return entry.torn ? new Held.MayHaveRun() : new Held.First(entry.version);
    }
    return firstTime ? new Held.Fresh() : new Held.MayHaveRun();
  }

  /** Drops what is over at the old end, and what was told longest ago while there is no room. */
  private void forget(Duration now) {
    Iterator<Entry> entriesByAge = entries.values().iterator();
    while (entriesByAge.hasNext()) {
      boolean over = entriesByAge.next().until.compareTo(now) <= 0;
      if (!over && entries.size() <= most) {
        return;
      }
      entriesByAge.remove();
    }
  }

  public int size() {
    return entries.size();
  }
}
