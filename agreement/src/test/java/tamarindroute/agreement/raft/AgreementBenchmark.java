package tamarindroute.agreement.raft;

import java.lang.management.ManagementFactory;

/**
 * Measures a voter group: failover in virtual time, and throughput, memory and number of loaded
 * classes on the real clock. Run by hand; not a test.
 */
final class AgreementBenchmark {

  private static final int RUNS = 3;

  private AgreementBenchmark() {}

  /** Prints all measurements. */
  public static void main(String[] args) throws Exception {
    System.out.println("classes before: " + classes() + ", heap " + heapKib() + " KiB");
    for (int voters : new int[] {3, 5}) {
      System.out.println(new FailoverBenchmark(voters, 0).run());
      System.out.println(new FailoverBenchmark(voters, 20).run());
    }
    for (boolean onFiles : new boolean[] {false, true}) {
      for (int i = 0; i < RUNS; i++) {
        new ThroughputBenchmark(onFiles).run();
      }
    }
  }

  static int classes() {
    return ManagementFactory.getClassLoadingMXBean().getLoadedClassCount();
  }

  static long heapKib() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() / 1024;
  }
}
