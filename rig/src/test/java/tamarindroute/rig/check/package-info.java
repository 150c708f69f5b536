/**
 * Owns the verdict on a play, from its journal alone: what the stand-ins saw and what the processes
 * printed. It must never ask the product's code, nor a process.
 */
package tamarindroute.rig.check;
