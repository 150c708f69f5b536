/**
 * The routing policy: which cache a request is sent to, where a miss is filled from, which copies
 * are stored, and when a request is retried, cancelled or ended. {@code docs/design.md} describes
 * the algorithms.
 *
 * <p>{@link tamarindroute.policy.RatioTestPolicy} is the entry point and the only public type. The
 * package does no I/O, starts no threads, reads no clock and does not depend on any front. Its only
 * dependencies are {@code tamarindroute.decision} and {@code tamarindroute.numeric}.
 *
 * <p>Times inside the package are seconds as {@code double}: either points in time since the start
 * of the instance, usually called {@code now}, or durations. The <em>transfer time</em> of an
 * object is the duration of its transfer on an idle cache. Decaying values are updated when they
 * are read, so that the order of reads affects the results in the last digits.
 */
package tamarindroute.policy;
