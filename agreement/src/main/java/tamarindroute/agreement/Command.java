package tamarindroute.agreement;

import java.util.List;
import tamarindroute.membership.Member;

/**
 * What may be proposed. Each says what it was derived from, so that of two that were derived from
 * the same one wins.
 */
public sealed interface Command {

  /** The view's number, or the entry's, that it was derived from. */
  long baseNumber();

  /** Members that are out and in, together, derived from the view of this number. */
  record MembershipChange(long baseNumber, List<Member> removed, List<Member> added)
      implements Command {
    public MembershipChange {
      removed = List.copyOf(removed);
      added = List.copyOf(added);
    }
  }

  /**
   * Sets an entry; derived from {@link MembershipView#baseNumber}: what last changed it, or a view
   * that has none.
   */
  record Put(String key, long baseNumber, String type, byte[] value) implements Command {
    public Put {
      value = value.clone();
    }

    @Override
    public byte[] value() {
      return value.clone();
    }
  }

  /** Takes out an entry that was last changed at this number. */
  record Remove(String key, long baseNumber) implements Command {}

  /** Who votes, told to all after the group has changed; derived from the view of this number. */
  record SetVoters(long baseNumber, List<Member> voters) implements Command {
    public SetVoters {
      voters = List.copyOf(voters);
    }
  }

  /** Changes nothing; a new leader's first word. */
  record NoOp() implements Command {
    @Override
    public long baseNumber() {
      return 0;
    }
  }
}
