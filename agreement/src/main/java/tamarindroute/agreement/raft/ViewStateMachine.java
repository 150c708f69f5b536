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
import tamarindroute.agreement.proto.ViewProto;
import tamarindroute.agreement.wire.AgreementMessageCodec;
import tamarindroute.agreement.wire.ViewCodec;

/**
 * The replicated state machine of the voter group, which applies committed commands to the
 * membership view. It keeps the latest commands. Members whose view is only slightly older receive
 * these commands instead of the full view.
 */
final class ViewStateMachine implements StateMachine {

  /** Query operation that returns the view. */
  static final Object READ_VIEW = new Object();

  /** Largest total encoded size of the kept commands, in bytes. */
  private static final int MAX_RECENT_COMMAND_BYTES = ViewCodec.MAX_COMMAND_BYTES;

  /**
   * A command that was applied to the view.
   *
   * @param viewNumber number of the view after the command
   * @param sizeBytes encoded size of the command
   */
  private record AppliedCommand(long viewNumber, Command command, int sizeBytes) {}

  private MembershipView view;
  private final Deque<AppliedCommand> recentCommands = new ArrayDeque<>();
  private int recentCommandBytes;

  ViewStateMachine(long groupId) {
    this.view = MembershipView.initial(groupId);
  }

  MembershipView view() {
    return view;
  }

  @Override
  public Object runOperation(long index, Object operation) {
    if (operation == READ_VIEW) {
      return view;
    }
    Command command = (Command) operation;
    ViewTransitions.Transition transition = ViewTransitions.apply(view, command);
    MembershipView next = transition.view();
    if (next.number() != view.number()) {
      int sizeBytes = ViewCodec.toProto(command).getSerializedSize();
      keepRecent(new AppliedCommand(next.number(), command, sizeBytes));
    }
    view = next;
    return transition;
  }

  private void keepRecent(AppliedCommand applied) {
    recentCommands.add(applied);
    recentCommandBytes += applied.sizeBytes();
    while (recentCommands.size() > AgreementMessageCodec.MAX_REPLAYED_COMMANDS
        || recentCommandBytes > MAX_RECENT_COMMAND_BYTES) {
      recentCommandBytes -= recentCommands.remove().sizeBytes();
    }
  }

  /**
   * Returns the commands that lead from an older view to the current view, in the order in which
   * they were applied. Returns empty if they are no longer kept or the given number is above the
   * number of the current view.
   *
   * @param number number of the older view
   */
  Optional<List<Command>> commandsSince(long number) {
    if (number == view.number()) {
      return Optional.of(List.of());
    }
    boolean isKept =
        number < view.number()
            && !recentCommands.isEmpty()
            && recentCommands.peek().viewNumber() <= number + 1;
    if (!isKept) {
      return Optional.empty();
    }
    List<Command> commands = new ArrayList<>();
    for (AppliedCommand applied : recentCommands) {
      if (applied.viewNumber() > number) {
        commands.add(applied.command());
      }
    }
    return Optional.of(commands);
  }

  @Override
  public void takeSnapshot(long index, Consumer<Object> chunks) {
    ByteString serializedView = ViewCodec.toProto(view).toByteString();
    int offset = 0;
    do {
      int end = Math.min(offset + RaftModelCodec.MAX_CHUNK_BYTES, serializedView.size());
      chunks.accept(serializedView.substring(offset, end));
      offset = end;
    } while (offset < serializedView.size());
  }

  @Override
  public void installSnapshot(long index, List<Object> chunks) {
    ByteString serializedView = ByteString.EMPTY;
    for (Object chunk : chunks) {
      serializedView = serializedView.concat((ByteString) chunk);
    }
    try {
      view = ViewCodec.fromProto(ViewProto.parseFrom(serializedView));
    } catch (InvalidProtocolBufferException malformed) {
      throw new IllegalStateException(
          "snapshot of "
              + serializedView.size()
              + " bytes at log index "
              + index
              + " is not a valid ViewProto",
          malformed);
    }
    recentCommands.clear();
    recentCommandBytes = 0;
  }

  @Override
  public Object getNewTermOperation() {
    return new Command.NoOp();
  }
}
