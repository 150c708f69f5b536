package tamarindroute.agreement;

import java.util.List;
import tamarindroute.membership.Member;

/**
 * What may be proposed. Each says what it was derived from, so that of two that were derived from
 * the same one wins.
 */
public sealed interface Command {

  /** The view's number, or the entry's, that it was derived from. */
  long from();

  /** Members that are out and in, together, derived from the view of this number. */
  record Cut(long from, List<Member> out, List<Member> in) implements Command {
    public Cut {
      out = List.copyOf(out);
      in = List.copyOf(in);
    }
  }

  /**
   * Sets an entry; derived from {@link View#from}: what last changed it, or a view that has none.
   */
  record Put(String key, long from, String type, byte[] value) implements Command {
    public Put {
      value = value.clone();
    }

    @Override
    public byte[] value() {
      return value.clone();
    }
  }

  /** Takes out an entry that was last changed at this number. */
  record Remove(String key, long from) implements Command {}

  /** Who votes, told to all after the group has changed; derived from the view of this number. */
  record Voters(long from, List<Member> voters) implements Command {
    public Voters {
      voters = List.copyOf(voters);
    }
  }

  /** Changes nothing; a new leader's first word. */
  record Nothing() implements Command {
    @Override
    public long from() {
      return 0;
    }
  }
}
