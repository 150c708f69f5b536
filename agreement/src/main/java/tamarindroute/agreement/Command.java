package tamarindroute.agreement;

import java.util.List;
import tamarindroute.membership.Member;

/**
 * A change of the view that may be proposed. Each command names the number of the view or entry
 * that it was derived from, so that only one of two commands derived from the same state applies.
 */
public sealed interface Command {

  /** Returns the number of the view or entry that this command was derived from. */
  long baseNumber();

  /**
   * Removes and adds members in one step.
   *
   * @param baseNumber number of the view that the change was derived from
   * @param removed members to remove; those that are not in the view are ignored
   * @param added members to add
   */
  record MembershipChange(long baseNumber, List<Member> removed, List<Member> added)
      implements Command {
    /** Creates a command with copies of the lists. */
    public MembershipChange {
      removed = List.copyOf(removed);
      added = List.copyOf(added);
    }
  }

  /**
   * Sets an entry.
   *
   * @param key key of the entry, 1 to {@link ViewLimits#MAX_NAME_LENGTH} characters
   * @param baseNumber the number that {@link MembershipView#baseNumber} returned for the key
   * @param type name of the value's format, 1 to {@link ViewLimits#MAX_NAME_LENGTH} characters
   * @param value the value, at most {@link ViewLimits#MAX_VALUE_BYTES} bytes
   */
  @SuppressWarnings("ArrayRecordComponent") // Copied on access.
  record Put(String key, long baseNumber, String type, byte[] value) implements Command {
    /** Creates a command with a copy of the value. */
    public Put {
      value = value.clone();
    }

    /** Returns a copy of the value. */
    @Override
    public byte[] value() {
      return value.clone();
    }
  }

  /**
   * Removes an entry.
   *
   * @param key key of the entry
   * @param baseNumber number of the view that last changed the entry
   */
  record Remove(String key, long baseNumber) implements Command {}

  /**
   * Records the voters of the group in the view, after the group has changed.
   *
   * @param baseNumber number of the view that the command was derived from
   * @param voters all voters of the group, 1 to {@link ViewLimits#MAX_VOTERS}
   */
  record SetVoters(long baseNumber, List<Member> voters) implements Command {
    /** Creates a command with a copy of the voters. */
    public SetVoters {
      voters = List.copyOf(voters);
    }
  }

  /**
   * Changes nothing. A new leader appends this command to commit the log entries of earlier terms;
   * see section 8 of the Raft paper (Ongaro and Ousterhout 2014).
   */
  record NoOp() implements Command {
    @Override
    public long baseNumber() {
      return 0;
    }
  }
}
