package tamarindroute.agreement;

import java.util.List;
import tamarindroute.membership.Member;

/**
 * A change of the view that may be proposed. Each command names the state it was derived from, so
 * that of two commands derived from the same state only one applies.
 */
public sealed interface Command {

  /** Returns the number of the view or entry that this command was derived from. */
  long baseNumber();

  /** Removes and adds members in one step. Derived from the view with the base number. */
  record MembershipChange(long baseNumber, List<Member> removed, List<Member> added)
      implements Command {
    /** Copies the members. */
    public MembershipChange {
      removed = List.copyOf(removed);
      added = List.copyOf(added);
    }
  }

  /** Sets an entry. Derived from what {@link MembershipView#baseNumber} returned for its key. */
  @SuppressWarnings("ArrayRecordComponent") // Copied on access.
  record Put(String key, long baseNumber, String type, byte[] value) implements Command {
    /** Copies the value. */
    public Put {
      value = value.clone();
    }

    /** Returns a copy of the value. */
    @Override
    public byte[] value() {
      return value.clone();
    }
  }

  /** Removes the entry that was last changed by the view with the base number. */
  record Remove(String key, long baseNumber) implements Command {}

  /** Records the voters of the group in the view. Derived from the view with the base number. */
  record SetVoters(long baseNumber, List<Member> voters) implements Command {
    /** Copies the voters. */
    public SetVoters {
      voters = List.copyOf(voters);
    }
  }

  /** Changes nothing. A new leader appends it to commit the entries of earlier terms. */
  record NoOp() implements Command {
    @Override
    public long baseNumber() {
      return 0;
    }
  }
}
