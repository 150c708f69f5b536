package tamarindroute.membership;

/** Bounds on the contents of received messages, beyond what the decoder checks. */
final class MessageValidator {

  /** Greatest incarnation and refutation number accepted; leaves room for counting on. */
  static final long MAX_COUNTER = Long.MAX_VALUE / 4;

  private static final int MAX_HOST_LENGTH = 255;

  /** Members may be configured with different limits; up to this factor is tolerated. */
  private static final int UPDATE_LIMIT_TOLERANCE = 2;

  private final StepContext context;

  MessageValidator(StepContext context) {
    this.context = context;
  }

  boolean isValid(Message message) {
    int maxUpdates = UPDATE_LIMIT_TOLERANCE * context.settings.maxUpdatesPerMessage();
    return isValid(message.from())
        && isValid(message.subject())
        && !context.isSelf(message.from().address())
        && message.updates().size() <= maxUpdates;
  }

  static boolean isValid(MembershipUpdate update) {
    return isValid(update.member())
        && update.refutation() >= 0
        && update.refutation() <= MAX_COUNTER;
  }

  private static boolean isValid(Member member) {
    return isValidIncarnation(member.incarnation())
        && member.address().host().length() <= MAX_HOST_LENGTH;
  }

  static boolean isValidIncarnation(long incarnation) {
    return incarnation > 0 && incarnation <= MAX_COUNTER;
  }
}
