/**
 * Owns what is agreed: the numbered view, the commands that lead from one to the next, and the
 * lease under which a member that has no vote holds it. All but the interface {@code Agreement} is
 * pure; it must never touch a socket, a file, a thread or a clock, nor know the library that
 * agrees.
 */
package tamarindroute.agreement;
