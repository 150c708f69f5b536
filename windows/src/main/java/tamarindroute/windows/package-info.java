/**
 * Owns when caches may be taken out: the planner of windows over the cover of key ranges, the load
 * by time of day as members tell it, and the life of a window as agreed entries. It must never
 * touch a socket, a file, a clock or a thread, know where caches come from, or hold a window that
 * is not agreed: facts are told to it, actions are carried out by others.
 */
package tamarindroute.windows;
