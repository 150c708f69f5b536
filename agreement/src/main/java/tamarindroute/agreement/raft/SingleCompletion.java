package tamarindroute.agreement.raft;

import io.microraft.Ordered;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Delivers the outcome of a MicroRaft operation exactly once. An operation without an outcome
 * within the timeout is delivered as a failure.
 */
final class SingleCompletion<T> {

  /** Longest wait for an outcome. Covers two changes of the leader. */
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final Consumer<T> onSuccess;
  private final Consumer<Throwable> onFailure;
  private boolean completed;

  private SingleCompletion(Consumer<T> onSuccess, Consumer<Throwable> onFailure) {
    this.onSuccess = onSuccess;
    this.onFailure = onFailure;
  }

  /**
   * Calls one of the two callbacks exactly once, on the event loop, when the operation completes or
   * the timeout has passed. Returns without waiting.
   */
  @SuppressWarnings("FutureReturnValueIgnored") // The stage is completed by the callbacks.
  static <T> void deliver(
      EventLoop eventLoop,
      CompletableFuture<Ordered<T>> operation,
      Consumer<T> onSuccess,
      Consumer<Throwable> onFailure) {
    SingleCompletion<T> completion = new SingleCompletion<>(onSuccess, onFailure);
    operation.whenComplete(
        (result, failure) -> {
          if (failure == null) {
            completion.succeed(result.getResult());
          } else {
            completion.fail(failure);
          }
        });
    if (!completion.completed) {
      eventLoop.schedule(completion::timeOut, TIMEOUT);
    }
  }

  private void succeed(T result) {
    if (!completed) {
      completed = true;
      onSuccess.accept(result);
    }
  }

  private void fail(Throwable failure) {
    if (!completed) {
      completed = true;
      onFailure.accept(failure);
    }
  }

  private void timeOut() {
    if (!completed) {
      fail(
          new IOException(
              "consensus operation did not complete within " + TIMEOUT.toSeconds() + " s"));
    }
  }
}
