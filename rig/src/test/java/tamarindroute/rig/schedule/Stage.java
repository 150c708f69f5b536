package tamarindroute.rig.schedule;

import java.time.Duration;
import java.util.List;
import java.util.function.UnaryOperator;
import tamarindroute.rig.proxy.Fault;

/** What a schedule's deeds are done on. */
public interface Stage {

  /** Changes the faults of all directed ways from some to others. */
  void fault(List<String> from, List<String> to, UnaryOperator<Fault> change);

  /** Ends all connections that go through proxies. */
  void reset();

  void stop(String process, Duration length) throws Exception;

  void starve(String process, Duration length) throws Exception;

  /** The end without a word. */
  void kill(String process) throws Exception;

  /** The end with notice. */
  void leave(String process) throws Exception;

  /** Starts a process that has ended, its wall clock told to be off by so much. */
  void start(String process, Duration clock) throws Exception;

  /** Tells the feeds of some processes a cache's state: ready, draining, gone, or cold. */
  void tell(String cache, String state, List<String> feeds);

  /** How a cache answers from now on. */
  void mode(String cache, String mode);
}
