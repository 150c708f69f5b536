package tamarindroute.membership;

import java.util.List;
import java.util.Optional;

/**
 * Applies received updates to the member table. Decides which incarnation an update describes and
 * whether the update or the current entry takes precedence. Updates about former incarnations and
 * updates with values out of bounds change nothing.
 */
final class UpdatePrecedence {

  /**
   * Bound on the members in state JOINING. A member that is not admitted retries after a backoff.
   */
  private static final int MAX_JOINING = 64;

  /** Time after which a joining member that has sent no message as a member is given up. */
  private static final int JOINING_TIMEOUT_PERIODS = 30;

  /** A welcome message carries updates up to this part of the limit for one message. */
  private static final int WELCOME_DIVISOR = 2;

  private final StepContext context;
  private final OutboundMessages outbound;
  private final LocalHealthMonitor localHealth;
  private final SuspicionTracker suspicions;

  /** Later incarnation at the local address found in the last message, or null. */
  private Member laterIncarnation;

  UpdatePrecedence(
      StepContext context,
      OutboundMessages outbound,
      LocalHealthMonitor localHealth,
      SuspicionTracker suspicions) {
    this.context = context;
    this.outbound = outbound;
    this.localHealth = localHealth;
    this.suspicions = suspicions;
  }

  /**
   * Finds the sender of a message in the member table, or admits it.
   *
   * @return the sender's entry, or null if the message has to be ignored, because the sender is a
   *     former incarnation, has left, or does not fit into the table
   */
  MemberEntry resolveSender(Message message) {
    Member sender = message.from();
    MemberEntry entry = context.memberTable.find(sender.address());
    if (entry != null && isSuperseded(entry, sender)) {
      if (expectsReply(message.kind())) {
        outbound.send(Message.Kind.SUPERSEDED, sender, message.requestId(), entry.member);
      }
      return null;
    }
    if (message.kind() == Message.Kind.JOIN) {
      boolean known = entry != null && entry.member.incarnation() == sender.incarnation();
      return known ? entry : admitJoining(sender);
    }
    if (entry == null || entry.member.incarnation() < sender.incarnation()) {
      return admit(sender, MemberState.ALIVE, 0);
    }
    if (entry.state == MemberState.JOINING) {
      markAlive(entry, entry.refutation);
    }
    return entry;
  }

  private static boolean expectsReply(Message.Kind kind) {
    return kind == Message.Kind.JOIN || kind == Message.Kind.PROBE || kind == Message.Kind.EXCHANGE;
  }

  /**
   * Whether a later incarnation than the sender's is known, or the sender's incarnation has left.
   */
  private static boolean isSuperseded(MemberEntry entry, Member sender) {
    boolean hasLeft =
        entry.member.incarnation() == sender.incarnation() && entry.state == MemberState.LEFT;
    return hasLeft || entry.member.incarnation() > sender.incarnation();
  }

  private MemberEntry admitJoining(Member sender) {
    return context.memberTable.joining().size() >= MAX_JOINING
        ? null
        : admit(sender, MemberState.JOINING, 0);
  }

  /**
   * Adds an unknown incarnation to the table, which replaces any earlier one at its address.
   *
   * @return the new entry, or null if the table is full
   */
  private MemberEntry admit(Member member, MemberState state, long refutation) {
    MemberEntry previous = context.memberTable.find(member.address());
    if (previous != null && previous.isLive()) {
      context.emit(new Action.StateChanged(previous.member, MemberState.FAULTY));
    }
    MemberEntry entry =
        context.memberTable.admit(member, state, refutation, context.nowNanos, context.random);
    if (entry != null) {
      context.emitStateChange(entry);
      if (state != MemberState.JOINING) {
        enqueue(entry);
      }
    }
    return entry;
  }

  /**
   * Marks joining members as faulty that have sent no message as a member in time. Their entries
   * remain, so that their incarnations stay known.
   */
  void expireJoining() {
    long timeoutNanos = JOINING_TIMEOUT_PERIODS * context.periodNanos;
    for (MemberEntry entry : context.memberTable.joining()) {
      if (context.nowNanos - entry.stateSinceNanos > timeoutNanos) {
        setState(entry, MemberState.FAULTY);
      }
    }
  }

  /**
   * Applies all valid updates of a message.
   *
   * @return whether one of them describes the local member as suspect or worse, so that the answer
   *     has to refute it
   */
  boolean applyAll(Message message) {
    boolean accused = false;
    laterIncarnation = null;
    for (MembershipUpdate update : message.updates()) {
      if (!MessageValidator.isValid(update)) {
        continue;
      }
      if (context.isSelf(update.member().address())) {
        accused |= applyAboutSelf(update, message.from());
      } else {
        apply(update, message.from());
      }
    }
    if (!accused) {
      localHealth.clearAccusation(message.from().address());
    }
    return accused;
  }

  /** Returns the later incarnation of the local member found in the last message, if any. */
  Optional<Member> laterIncarnation() {
    return Optional.ofNullable(laterIncarnation);
  }

  /** Applies an update about the local member; returns whether it has to be refuted. */
  private boolean applyAboutSelf(MembershipUpdate update, Member sender) {
    long incarnation = update.member().incarnation();
    if (incarnation > context.self.incarnation()) {
      laterIncarnation = update.member();
    }
    if (incarnation != context.self.incarnation()
        || update.state().compareTo(MemberState.SUSPECT) < 0) {
      return false;
    }
    if (update.refutation() >= context.refutation) {
      context.refutation = update.refutation() + 1;
      context.gossipQueue.enqueue(context.selfUpdate());
      context.healthScore.degrade();
      localHealth.recordRefutation();
    } else {
      localHealth.recordAccusation(sender.address());
    }
    return true;
  }

  private void apply(MembershipUpdate update, Member sender) {
    MemberEntry entry = context.memberTable.find(update.member().address());
    if (entry == null || entry.member.incarnation() < update.member().incarnation()) {
      applyAboutUnknown(update);
      return;
    }
    if (entry.member.incarnation() > update.member().incarnation()
        || entry.state == MemberState.LEFT) {
      return;
    }
    switch (update.state()) {
      case JOINING -> {}
      case ALIVE -> {
        if (update.refutation() > entry.refutation || entry.state == MemberState.JOINING) {
          markAlive(entry, update.refutation());
        }
      }
      case SUSPECT, FAULTY -> applyAccusation(entry, update, sender);
      case LEFT -> markLeft(entry, update.refutation());
    }
  }

  private void applyAboutUnknown(MembershipUpdate update) {
    switch (update.state()) {
      case JOINING -> {}
      case ALIVE, FAULTY, LEFT -> admit(update.member(), update.state(), update.refutation());
      case SUSPECT -> {
        MemberEntry entry = admit(update.member(), MemberState.ALIVE, update.refutation());
        if (entry != null) {
          suspicions.report(entry, update.observer());
        }
      }
    }
  }

  private void applyAccusation(MemberEntry entry, MembershipUpdate update, Member sender) {
    if (update.refutation() < entry.refutation) {
      return;
    }
    if (entry.state == MemberState.JOINING || update.refutation() > entry.refutation) {
      markAlive(entry, update.refutation());
    }
    boolean firstHand = update.observer().equals(sender.address());
    if (entry.state == MemberState.FAULTY) {
      if (update.state() == MemberState.SUSPECT && firstHand) {
        // The sender has not received that the member is faulty here. Its own declaration needs
        // such
        // messages from several members.
        List<MembershipUpdate> correction = List.of(entry.toUpdate(context.self.address()));
        outbound.sendOnly(Message.Kind.GOSSIP, sender, 0, correction);
      }
    } else if (update.state() == MemberState.FAULTY && !context.settings.guards().confirmation()) {
      suspicions.declareFaulty(entry);
    } else if (!context.isSelf(update.observer())) {
      suspicions.report(entry, update.observer());
      if (update.state() == MemberState.FAULTY && firstHand) {
        suspicions.addFaultyReport(entry, sender.address());
      }
    }
  }

  private void markAlive(MemberEntry entry, long refutation) {
    entry.refutation = refutation;
    if (entry.state != MemberState.ALIVE) {
      setState(entry, MemberState.ALIVE);
      context.emitStateChange(entry);
    }
    // Only the member itself can observe that it is alive, so it is named as the observer.
    context.gossipQueue.enqueue(entry.toUpdate(entry.member.address()));
  }

  /** Marks a member as having left and disseminates this. */
  void markLeft(MemberEntry entry, long refutation) {
    entry.refutation = Math.max(entry.refutation, refutation);
    setState(entry, MemberState.LEFT);
    context.emitStateChange(entry);
    enqueue(entry);
  }

  private void setState(MemberEntry entry, MemberState state) {
    context.memberTable.setState(entry, state, context.nowNanos, context.random);
  }

  private void enqueue(MemberEntry entry) {
    context.gossipQueue.enqueue(entry.toUpdate(context.self.address()));
  }

  /** Returns updates about some random live members, for the welcome message to a new member. */
  List<MembershipUpdate> welcomeUpdates() {
    int count = context.settings.maxUpdatesPerMessage() / WELCOME_DIVISOR;
    Address self = context.self.address();
    return context.memberTable.randomAlive(count, null, context.random).stream()
        .map(entry -> entry.toUpdate(self))
        .toList();
  }
}
