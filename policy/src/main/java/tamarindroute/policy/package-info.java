/**
 * The routing policy of the project: which cache a request is sent to, where a miss is filled from,
 * which copies are stored, and when a request is retried, cancelled or given up. {@code
 * docs/design.md} describes the mechanism.
 *
 * <p>{@link tamarindroute.policy.RatioTestPolicy} is the entry point and the only public type. The
 * package is pure: no I/O, threads, clocks or knowledge of a front; it depends on {@code
 * tamarindroute.decision} and {@code tamarindroute.numeric}.
 *
 * <p>Inside the package times are seconds, as {@code double}: points in time since the start of the
 * instance (usually {@code now}), or spans. <em>Transfer time</em> is what sending an object takes
 * on an undisturbed link. Decaying values are brought up to date when they are read, so that the
 * order of reads is part of the result.
 */
package tamarindroute.policy;
