package tamarindroute.membership;

import java.util.List;
import java.util.Optional;

/** Applies the updates of a received message to the member table, then handles its kind. */
final class MessageHandler {

  private final StepContext context;
  private final OutboundMessages outbound;
  private final LocalHealthMonitor localHealth;
  private final FailureDetector failureDetector;
  private final StateExchange stateExchange;
  private final JoinProtocol joinProtocol;
  private final UpdatePrecedence updatePrecedence;
  private final MessageValidator validator;

  MessageHandler(
      StepContext context,
      OutboundMessages outbound,
      LocalHealthMonitor localHealth,
      FailureDetector failureDetector,
      StateExchange stateExchange,
      JoinProtocol joinProtocol,
      UpdatePrecedence updatePrecedence) {
    this.context = context;
    this.outbound = outbound;
    this.localHealth = localHealth;
    this.failureDetector = failureDetector;
    this.stateExchange = stateExchange;
    this.joinProtocol = joinProtocol;
    this.updatePrecedence = updatePrecedence;
    this.validator = new MessageValidator(context);
  }

  /**
   * Handles a message. Ignores a message that is invalid, meant for another incarnation of the
   * local member, or from a sender that is superseded or cannot be admitted.
   */
  void onMessage(Message message) {
    if (!isForSelf(message) || !validator.isValid(message)) {
      return;
    }
    if (message.kind() == Message.Kind.SUPERSEDED) {
      onSuperseded(message.subject());
      return;
    }
    MemberEntry sender = updatePrecedence.resolveSender(message);
    if (sender == null) {
      return;
    }
    boolean accused = updatePrecedence.applyAll(message);
    Optional<Member> laterIncarnation = updatePrecedence.laterIncarnation();
    if (laterIncarnation.isPresent()) {
      onSuperseded(laterIncarnation.get());
      return;
    }
    dispatch(message, sender, accused);
  }

  private boolean isForSelf(Message message) {
    boolean untargetedJoin =
        message.targetIncarnation() == 0 && message.kind() == Message.Kind.JOIN;
    return untargetedJoin || message.targetIncarnation() == context.self.incarnation();
  }

  private void dispatch(Message message, MemberEntry sender, boolean accused) {
    switch (message.kind()) {
      case PROBE -> onProbe(message, accused);
      case ACK -> failureDetector.onAck(message);
      case INDIRECT_PROBE -> failureDetector.onIndirectProbe(message);
      case NACK -> failureDetector.onNack(message);
      case JOIN -> onJoin(message);
      case WELCOME -> onWelcome(message);
      case EXCHANGE -> stateExchange.onRequest(message);
      case EXCHANGE_REPLY -> stateExchange.onReply(message);
      case LEAVE -> onLeave(sender);
      case GOSSIP, SUPERSEDED -> {}
    }
  }

  private void onProbe(Message message, boolean accused) {
    List<MembershipUpdate> refutation = accused ? List.of(context.selfUpdate()) : List.of();
    outbound.sendFilledUp(
        Message.Kind.ACK, message.from(), message.requestId(), context.self, refutation);
  }

  private void onJoin(Message message) {
    // The member table may be outdated after a pause, so a paused member admits no one.
    if (localHealth.statusAt(context.nowNanos).connectivity() != Connectivity.PAUSED) {
      outbound.sendOnly(
          Message.Kind.WELCOME,
          message.from(),
          stateExchange.partCount(),
          updatePrecedence.welcomeUpdates());
    }
  }

  private void onWelcome(Message message) {
    if (!localHealth.isJoined()) {
      localHealth.onJoined();
      stateExchange.requestAll(message.requestId());
      context.gossipQueue.enqueue(context.selfUpdate());
    }
  }

  private void onLeave(MemberEntry sender) {
    if (sender.state != MemberState.LEFT) {
      updatePrecedence.markLeft(sender, sender.refutation);
    }
  }

  /**
   * Raises the local incarnation above one that other members remember, and joins again. This is
   * needed after a restart with a clock that was set back.
   */
  private void onSuperseded(Member later) {
    if (!context.isSelf(later.address())
        || later.incarnation() < context.self.incarnation()
        || later.incarnation() >= MessageValidator.MAX_COUNTER) {
      return;
    }
    context.self = new Member(context.self.address(), later.incarnation() + 1);
    context.refutation = 0;
    failureDetector.clear();
    localHealth.onNewIncarnation();
    joinProtocol.restart();
    context.emit(new Action.IncarnationRaised(context.self));
  }
}
