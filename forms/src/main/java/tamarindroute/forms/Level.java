package tamarindroute.forms;

import java.util.List;

/**
 * The fleet's level as it is agreed. A proposed one changes nothing yet; one on trial may be used
 * and taken back; a settled one can't be taken back.
 */
public record Level(int settled, Phase phase) {

  public enum Phase {
    CALM,
    PROPOSED,
    TRIAL
  }

  /** Where a fleet begins that has agreed on nothing. */
  public static final Level FIRST = new Level(0, Phase.CALM);

  /**
   * Which forms each level lets be used; a level and the one after it share one, lest a cut member
   * have none.
   */
  public record Table(List<Forms> forms) {
    public Table {
      forms = List.copyOf(forms);
      for (int level = 1; level < forms.size(); level++) {
        if (forms.get(level).and(forms.get(level - 1)).none()) {
          throw new IllegalArgumentException(
              "levels " + (level - 1) + " and " + level + " share no form");
        }
      }
      if (forms.isEmpty() || forms.get(0).none()) {
        throw new IllegalArgumentException("level 0 has no form");
      }
    }

    public int last() {
      return forms.size() - 1;
    }
  }

  /**
   * What may be used by a member that knows this level. In touch it is what is agreed; out of
   * touch, the level may have risen, or a trial have been taken back or settled since, so only what
   * is right on both sides remains.
   */
  public Forms usable(Table table, boolean inTouch) {
    Forms here = table.forms.get(settled);
    if (settled == table.last()) {
      return here;
    }
    Forms above = table.forms.get(settled + 1);
    return !inTouch ? here.and(above) : phase == Phase.TRIAL ? here.or(above) : here;
  }

  /** Why whoever speaks these levels may not join; null where it may. */
  public String refuses(int lowest, int highest) {
    return settled >= lowest && settled <= highest
        ? null
        : "the fleet is at level "
            + settled
            + " for good, and this one speaks "
            + lowest
            + " to "
            + highest;
  }

  Level propose() {
    return new Level(settled, Phase.PROPOSED);
  }

  Level tryOut() {
    return new Level(settled, Phase.TRIAL);
  }

  Level settle() {
    return new Level(settled + 1, Phase.CALM);
  }

  Level takeBack() {
    return new Level(settled, Phase.CALM);
  }
}
