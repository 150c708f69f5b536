/**
 * Owns the playing of a schedule: the processes that it starts and ends, the stand-ins round them,
 * the clients. It signals only processes that it started, by their id. It must never judge what
 * came of it.
 */
package tamarindroute.rig.play;
