package tamarindroute.agreement.raft;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.microraft.statemachine.StateMachine;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import tamarindroute.agreement.Command;
import tamarindroute.agreement.MembershipView;
import tamarindroute.agreement.ViewTransitions;
import tamarindroute.agreement.proto.WView;
import tamarindroute.agreement.wire.AgreementMessageCodec;

/**
 * Owns a voter's view: the ledger's steps in the agreed order, and the last of them for those who
 * are near.
 */
final class ViewStateMachine implements StateMachine {

  /** Asks for the view in its place in the order. */
  static final Object READ = new Object();

  /** Bytes of the last commands that are kept to be told in place of the whole view. */
  private static final int MAX_RECENT_BYTES = AgreementMessageCodec.MAX_COMMAND_BYTES;

  private record AppliedCommand(long viewNumber, Command command, int sizeBytes) {}

  private MembershipView view;
  private final Deque<AppliedCommand> recentCommands = new ArrayDeque<>();
  private int recentBytes;

  ViewStateMachine(long group) {
    this.view = MembershipView.initial(group);
  }

  MembershipView view() {
    return view;
  }

  @Override
  public Object runOperation(long index, Object operation) {
    if (operation == READ) {
      return view;
    }
    Command command = (Command) operation;
    ViewTransitions.Transition step = ViewTransitions.apply(view, command);
    if (step.view().number() != view.number()) {
      remember(
          new AppliedCommand(
              step.view().number(),
              command,
              AgreementMessageCodec.toProto(command).getSerializedSize()));
    }
    view = step.view();
    return step;
  }

  private void remember(AppliedCommand applied) {
    recentCommands.add(applied);
    recentBytes += applied.sizeBytes();
    while (recentCommands.size() > AgreementMessageCodec.MAX_REPLAYED_COMMANDS
        || recentBytes > MAX_RECENT_BYTES) {
      recentBytes -= recentCommands.remove().sizeBytes();
    }
  }

  /** The commands that lead from this number to the view; empty if they are no longer known. */
  Optional<List<Command>> commandsSince(long number) {
    if (number == view.number()) {
      return Optional.of(List.of());
    }
    if (number > view.number()
        || recentCommands.isEmpty()
        || recentCommands.peek().viewNumber() > number + 1) {
      return Optional.empty();
    }
    List<Command> commands = new ArrayList<>();
    recentCommands.stream()
        .filter(one -> one.viewNumber() > number)
        .forEach(one -> commands.add(one.command()));
    return Optional.of(commands);
  }

  @Override
  public void takeSnapshot(long index, Consumer<Object> parts) {
    ByteString serializedView = AgreementMessageCodec.toProto(view).toByteString();
    int at = 0;
    do {
      int end = Math.min(at + RaftModelCodec.MAX_CHUNK_BYTES, serializedView.size());
      parts.accept(serializedView.substring(at, end));
      at = end;
    } while (at < serializedView.size());
  }

  @Override
  public void installSnapshot(long index, List<Object> parts) {
    ByteString serializedView = ByteString.EMPTY;
    for (Object part : parts) {
      serializedView = serializedView.concat((ByteString) part);
    }
    try {
      view = AgreementMessageCodec.fromProto(WView.parseFrom(serializedView));
    } catch (InvalidProtocolBufferException notOurs) {
      throw new IllegalStateException("a snapshot of another form", notOurs);
    }
    recentCommands.clear();
    recentBytes = 0;
  }

  @Override
  public Object getNewTermOperation() {
    return new Command.NoOp();
  }
}
