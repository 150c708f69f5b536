package tamarindroute.membership;

/** Checks bounds on the contents of received messages that the decoder does not check. */
final class MessageValidator {

  /**
   * Greatest incarnation and refutation number accepted. Far below the maximum of the type, so that
   * raising the number does not overflow.
   */
  static final long MAX_COUNTER = Long.MAX_VALUE / 4;

  /** Length in characters. */
  private static final int MAX_HOST_LENGTH = 255;

  /**
   * Factor by which a message may exceed the local limit, as other members may have a greater one.
   */
  private static final int UPDATE_LIMIT_TOLERANCE = 2;

  private final StepContext context;

  MessageValidator(StepContext context) {
    this.context = context;
  }

  /**
   * Whether a message may be handled: sender and subject are within bounds, the sender is not the
   * local address, and there are not too many updates. Does not check the updates themselves.
   */
  boolean isValid(Message message) {
    int maxUpdates = UPDATE_LIMIT_TOLERANCE * context.settings.maxUpdatesPerMessage();
    return isValid(message.from())
        && isValid(message.subject())
        && !context.isSelf(message.from().address())
        && message.updates().size() <= maxUpdates;
  }

  /** Whether the member and the refutation number of an update are within bounds. */
  static boolean isValid(MembershipUpdate update) {
    return isValid(update.member())
        && update.refutation() >= 0
        && update.refutation() <= MAX_COUNTER;
  }

  private static boolean isValid(Member member) {
    return isValidIncarnation(member.incarnation())
        && member.address().host().length() <= MAX_HOST_LENGTH;
  }

  /** Whether an incarnation is from 1 to {@link #MAX_COUNTER}. */
  static boolean isValidIncarnation(long incarnation) {
    return incarnation > 0 && incarnation <= MAX_COUNTER;
  }
}
