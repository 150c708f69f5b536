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
import tamarindroute.agreement.Ledger;
import tamarindroute.agreement.View;
import tamarindroute.agreement.proto.WView;
import tamarindroute.agreement.wire.Words;

/**
 * Owns a voter's view: the ledger's steps in the agreed order, and the last of them for those who
 * are near.
 */
final class Machine implements StateMachine {

  /** Asks for the view in its place in the order. */
  static final Object READ = new Object();

  /** Bytes of the last commands that are kept to be told in place of the whole view. */
  private static final int SINCE_BYTES_MOST = Words.COMMAND_MOST;

  private record Done(long number, Command command, int size) {}

  private View view;
  private final Deque<Done> last = new ArrayDeque<>();
  private int lastBytes;

  Machine(long group) {
    this.view = View.first(group);
  }

  View view() {
    return view;
  }

  @Override
  public Object runOperation(long index, Object operation) {
    if (operation == READ) {
      return view;
    }
    Command command = (Command) operation;
    Ledger.Step step = Ledger.apply(view, command);
    if (step.view().number() != view.number()) {
      keep(new Done(step.view().number(), command, Words.to(command).getSerializedSize()));
    }
    view = step.view();
    return step;
  }

  private void keep(Done done) {
    last.add(done);
    lastBytes += done.size();
    while (last.size() > Words.SINCE_MOST || lastBytes > SINCE_BYTES_MOST) {
      lastBytes -= last.remove().size();
    }
  }

  /** The commands that lead from this number to the view; empty if they are no longer known. */
  Optional<List<Command>> since(long number) {
    if (number == view.number()) {
      return Optional.of(List.of());
    }
    if (number > view.number() || last.isEmpty() || last.peek().number() > number + 1) {
      return Optional.empty();
    }
    List<Command> commands = new ArrayList<>();
    last.stream().filter(one -> one.number() > number).forEach(one -> commands.add(one.command()));
    return Optional.of(commands);
  }

  @Override
  public void takeSnapshot(long index, Consumer<Object> parts) {
    ByteString whole = Words.to(view).toByteString();
    int at = 0;
    do {
      int end = Math.min(at + Wire.PART_MOST, whole.size());
      parts.accept(whole.substring(at, end));
      at = end;
    } while (at < whole.size());
  }

  @Override
  public void installSnapshot(long index, List<Object> parts) {
    ByteString whole = ByteString.EMPTY;
    for (Object part : parts) {
      whole = whole.concat((ByteString) part);
    }
    try {
      view = Words.from(WView.parseFrom(whole));
    } catch (InvalidProtocolBufferException notOurs) {
      throw new IllegalStateException("a snapshot of another form", notOurs);
    }
    last.clear();
    lastBytes = 0;
  }

  @Override
  public Object getNewTermOperation() {
    return new Command.Nothing();
  }
}
