package tamarindroute.rig.schedule;

import java.time.Duration;
import java.util.List;
import java.util.function.UnaryOperator;
import tamarindroute.rig.proxy.LinkFaults;

/** What a schedule's actions are performed on. */
public interface ActionTarget {

  /** Changes the faults of all directed links from some endpoints to others. */
  void changeFaults(List<String> from, List<String> to, UnaryOperator<LinkFaults> change);

  /** Resets all connections through proxies. */
  void resetConnections();

  /** Pauses a process with SIGSTOP and resumes it with SIGCONT. */
  void pause(String process, Duration length) throws Exception;

  /** Lets a process run in short slices only. */
  void throttle(String process, Duration length) throws Exception;

  /** Ends a process with SIGKILL. */
  void kill(String process) throws Exception;

  /** Ends a process with SIGTERM. */
  void terminate(String process) throws Exception;

  /** Starts a process that has ended, with its wall clock off by so much. */
  void start(String process, Duration clockOffset) throws Exception;

  /** Announces a cache's state by the feeds of some processes: ready, draining, gone or cold. */
  void announce(String cache, String state, List<String> processes);

  /** Sets how a cache answers from now on. */
  void setMode(String cache, String mode);
}
