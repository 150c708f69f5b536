package tamarindroute.membership;

import java.util.List;

/**
 * Owns what counts of others' words: which life a word is about and which of two is the later. It
 * must never let a former life's word change anything, nor a word outside its bounds.
 */
final class UpdatePrecedence {

  /** Far from where counting on would turn negative. */
  static final long MAX_COUNTER = Long.MAX_VALUE / 4;

  private static final int MAX_HOST_LENGTH = 255;

  /** At once; who is refused backs off and asks again. */
  private static final int MAX_JOINING = 64;

  /** One that asked and never said a word as a member is gone after so many periods. */
  private static final int JOINING_TIMEOUT_PERIODS = 30;

  private final StepContext context;
  private final OutboundMessages outbound;
  private final LocalHealthMonitor localHealth;
  private final SuspicionTracker suspicions;

  /** A later life at this one's address that somebody told of in this step; null for none. */
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

  boolean isValid(Message message) {
    return isValid(message.from())
        && isValid(message.subject())
        && !context.isSelf(message.from().address())
        && message.updates().size() <= 2 * context.settings.maxUpdatesPerMessage();
  }

  private static boolean isValid(Member member) {
    return member.incarnation() > 0
        && member.incarnation() <= MAX_COUNTER
        && member.address().host().length() <= MAX_HOST_LENGTH;
  }

  /**
   * The sender as it stands here now; null where it is a former life, or left: then nothing it says
   * counts.
   */
  MemberEntry resolveSender(Message message) {
    Member sender = message.from();
    MemberEntry entry = context.memberTable.find(sender.address());
    if (entry != null && isSuperseded(entry, sender)) {
      boolean expectsReply =
          message.kind() == Message.Kind.JOIN
              || message.kind() == Message.Kind.PROBE
              || message.kind() == Message.Kind.EXCHANGE;
      if (expectsReply) {
        outbound.send(Message.Kind.SUPERSEDED, sender, message.requestId(), entry.member);
      }
      return null;
    }
    if (message.kind() == Message.Kind.JOIN) {
      return entry != null && entry.member.incarnation() == sender.incarnation()
          ? entry
          : admitJoining(sender);
    }
    if (entry == null || entry.member.incarnation() < sender.incarnation()) {
      return admit(sender, MemberState.ALIVE, 0);
    }
    if (entry.state == MemberState.JOINING) {
      markAlive(entry, entry.refutation);
    }
    return entry;
  }

  /** Whether a later life than this is known there, or this one has gone for good. */
  private static boolean isSuperseded(MemberEntry entry, Member sender) {
    return entry.member.incarnation() > sender.incarnation()
        || entry.member.incarnation() == sender.incarnation() && entry.state == MemberState.LEFT;
  }

  private MemberEntry admitJoining(Member sender) {
    return context.memberTable.joining().size() >= MAX_JOINING
        ? null
        : admit(sender, MemberState.JOINING, 0);
  }

  /** A life that was not known: any earlier one at its address is over. */
  private MemberEntry admit(Member member, MemberState state, long refutation) {
    MemberEntry previous = context.memberTable.find(member.address());
    if (previous != null && previous.isLive()) {
      context.emit(new Action.StateChanged(previous.member, MemberState.AWAY));
    }
    MemberEntry entry =
        context.memberTable.admit(member, state, refutation, context.nowNanos, context.random);
    if (entry != null) {
      context.emitStateChange(entry);
      if (state != MemberState.JOINING) {
        context.gossipQueue.enqueue(entry.toUpdate(context.self.address()));
      }
    }
    return entry;
  }

  /** Those that never came in are remembered for their birth alone. */
  void expireJoining() {
    for (MemberEntry entry : context.memberTable.joining()) {
      if (context.nowNanos - entry.stateSinceNanos
          > JOINING_TIMEOUT_PERIODS * context.periodNanos) {
        context.memberTable.setState(entry, MemberState.AWAY, context.nowNanos, context.random);
      }
    }
  }

  /** Takes all rumours of a message; whether one of them has to be answered with one's own word. */
  boolean applyAll(Message message) {
    boolean accused = false;
    laterIncarnation = null;
    for (MembershipUpdate update : message.updates()) {
      if (!isValid(update.member())
          || update.refutation() < 0
          || update.refutation() > MAX_COUNTER) {
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

  Member laterIncarnation() {
    return laterIncarnation;
  }

  /** What others say of this one; whether it is to be refuted to whoever said so. */
  private boolean applyAboutSelf(MembershipUpdate update, Member sender) {
    if (update.member().incarnation() > context.self.incarnation()) {
      laterIncarnation = update.member();
    }
    if (update.member().incarnation() != context.self.incarnation()
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
      case SUSPECT, AWAY -> applyAccusation(entry, update, sender);
      case LEFT -> markLeft(entry, update.refutation());
    }
  }

  private void applyAboutUnknown(MembershipUpdate update) {
    switch (update.state()) {
      case JOINING -> {}
      case ALIVE, AWAY, LEFT -> admit(update.member(), update.state(), update.refutation());
      case SUSPECT -> {
        MemberEntry entry = admit(update.member(), MemberState.ALIVE, update.refutation());
        if (entry != null) {
          suspicions.report(entry, update.observer());
        }
      }
    }
  }

  private void markAlive(MemberEntry entry, long refutation) {
    boolean changed = entry.state != MemberState.ALIVE;
    entry.refutation = refutation;
    if (changed) {
      context.memberTable.setState(entry, MemberState.ALIVE, context.nowNanos, context.random);
      context.emitStateChange(entry);
    }
    context.gossipQueue.enqueue(entry.toUpdate(entry.member.address()));
  }

  private void applyAccusation(MemberEntry entry, MembershipUpdate update, Member sender) {
    if (update.refutation() < entry.refutation) {
      return;
    }
    if (entry.state == MemberState.JOINING || update.refutation() > entry.refutation) {
      markAlive(entry, update.refutation());
    }
    if (entry.state == MemberState.AWAY) {
      // Whoever suspects by itself what is long away here has missed it: it hears so, and hears
      // from others too.
      if (update.state() == MemberState.SUSPECT && update.observer().equals(sender.address())) {
        outbound.send(
            Message.Kind.GOSSIP,
            sender,
            0,
            context.self,
            List.of(entry.toUpdate(context.self.address())),
            false);
      }
    } else if (update.state() == MemberState.AWAY && !context.settings.guards().confirmation()) {
      suspicions.declareFaulty(entry);
    } else if (!context.isSelf(update.observer())) {
      suspicions.report(entry, update.observer());
      if (update.state() == MemberState.AWAY && update.observer().equals(sender.address())) {
        suspicions.addFaultyReport(entry, sender.address());
      }
    }
  }

  void markLeft(MemberEntry entry, long refutation) {
    entry.refutation = Math.max(entry.refutation, refutation);
    context.memberTable.setState(entry, MemberState.LEFT, context.nowNanos, context.random);
    context.emitStateChange(entry);
    context.gossipQueue.enqueue(entry.toUpdate(context.self.address()));
  }

  /** What a newcomer is told at once: some of those that are there. */
  List<MembershipUpdate> welcomeUpdates() {
    return context
        .memberTable
        .randomAlive(context.settings.maxUpdatesPerMessage() / 2, null, context.random)
        .stream()
        .map(entry -> entry.toUpdate(context.self.address()))
        .toList();
  }
}
