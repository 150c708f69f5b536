package tamarindroute.agreement;

import java.util.List;
import java.util.Optional;
import tamarindroute.membership.Address;
import tamarindroute.membership.Member;

/** Limits of views and commands, and the checks of single commands and addresses. */
public final class ViewLimits {

  /** Largest number of members, which is the largest fleet that the membership supports. */
  public static final int MAX_MEMBERS = 5_000;

  /** Largest number of voters. Each commit waits for a majority, so more voters slow it down. */
  public static final int MAX_VOTERS = 7;

  /**
   * Largest number of entries: one with key prefix {@code window/} and one with {@code level/} for
   * each of 1,000 caches, and as many entries again in reserve.
   */
  public static final int MAX_ENTRIES = 4_096;

  /**
   * Largest size of one entry's value, in bytes. Holds a maintenance window of 1,000 caches with
   * names of 12 bytes.
   */
  public static final int MAX_VALUE_BYTES = 16 * 1024;

  /**
   * Largest size of all entries' values together, in bytes. A gateway with 32 MB of memory must be
   * able to hold all values beside its other data, and twice during a change.
   */
  public static final int MAX_TOTAL_VALUE_BYTES = 1024 * 1024;

  /**
   * Largest length of a key, type or host name, in characters. Keeps a view at all its limits below
   * 4 MiB, the largest message.
   */
  public static final int MAX_NAME_LENGTH = 128;

  private static final int MAX_PORT = 0xffff;

  private ViewLimits() {}

  /**
   * Returns a description of the limit that a command violates regardless of the view, with the
   * value and what is allowed; empty if it violates none. Checked before a command is proposed, and
   * again when it is decoded or applied.
   */
  public static Optional<String> findViolation(Command command) {
    if (command instanceof Command.MembershipChange change) {
      return findChangeViolation(change);
    }
    if (command instanceof Command.Put put) {
      return findPutViolation(put);
    }
    if (command instanceof Command.Remove remove) {
      return findNameViolation("key", remove.key());
    }
    if (command instanceof Command.SetVoters setVoters) {
      return findVotersViolation(setVoters);
    }
    return Optional.empty();
  }

  private static Optional<String> findChangeViolation(Command.MembershipChange change) {
    int changes = change.removed().size() + change.added().size();
    if (changes > 2 * MAX_MEMBERS) {
      return Optional.of(
          "membership change of " + changes + " members, at most " + 2 * MAX_MEMBERS + " allowed");
    }
    return findAddressViolation(change.removed()).or(() -> findAddressViolation(change.added()));
  }

  private static Optional<String> findPutViolation(Command.Put put) {
    int bytes = put.value().length;
    if (bytes > MAX_VALUE_BYTES) {
      return Optional.of("value of " + bytes + " bytes, at most " + MAX_VALUE_BYTES + " allowed");
    }
    return findNameViolation("key", put.key()).or(() -> findNameViolation("type", put.type()));
  }

  private static Optional<String> findVotersViolation(Command.SetVoters setVoters) {
    int voters = setVoters.voters().size();
    if (voters == 0 || voters > MAX_VOTERS) {
      return Optional.of(voters + " voters, 1 to " + MAX_VOTERS + " allowed");
    }
    return findAddressViolation(setVoters.voters());
  }

  private static Optional<String> findNameViolation(String fieldName, String name) {
    int length = name.length();
    return length > 0 && length <= MAX_NAME_LENGTH
        ? Optional.empty()
        : Optional.of(
            fieldName + " of " + length + " characters, 1 to " + MAX_NAME_LENGTH + " allowed");
  }

  private static Optional<String> findAddressViolation(List<Member> members) {
    return members.stream()
        .map(member -> findViolation(member.address()))
        .flatMap(Optional::stream)
        .findFirst();
  }

  /**
   * Returns a description of the limit that a member's address violates, with the value and what is
   * allowed; empty if it violates none.
   */
  public static Optional<String> findViolation(Address address) {
    int port = address.port();
    if (port < 0 || port > MAX_PORT) {
      return Optional.of("port " + port + ", 0 to " + MAX_PORT + " allowed");
    }
    return findNameViolation("host", address.host());
  }
}
