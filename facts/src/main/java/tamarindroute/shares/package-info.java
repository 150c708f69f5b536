/**
 * Owns who may use how much of what a cold cache or parent bears: a dealer's count of what it has
 * dealt, a holder's count of what it has got, and the fixed share for whoever is out of touch. It
 * must never take silence for death, deal what a living one may still use, nor touch a clock, a
 * socket or a thread.
 */
package tamarindroute.shares;
