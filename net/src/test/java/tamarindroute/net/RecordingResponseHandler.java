package tamarindroute.net;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import tamarindroute.protocol.CacheResponse;
import tamarindroute.protocol.CacheStatus;

/** Records the outcome of a request, and runs the next step of the test in the same call. */
final class RecordingResponseHandler implements ResponseHandler {

  final CompletableFuture<CacheStatus> status = new CompletableFuture<>();
  final CompletableFuture<String> failure = new CompletableFuture<>();
  Runnable afterwards = () -> {};
  boolean wanted = true;

  @Override
  public boolean isStillWanted() {
    return wanted;
  }

  @Override
  public void onResponse(CacheResponse response, int bodyLength) {
    status.complete(response.status());
  }

  @Override
  public void onBody(ByteBuffer part, Connection from) {}

  @Override
  public void onComplete() {
    afterwards.run();
  }

  @Override
  public void onFailure(CloseReason closeReason, boolean written) {
    failure.complete(closeReason + " " + written);
    afterwards.run();
  }
}
