/**
 * Owns which form of an object a view gets, which form a numbered view keeps, and how the fleet's
 * level rises and is taken back. It must never choose a cache (the module does, among those that
 * speak a form), touch a socket or a clock, nor give anybody a form that it has not said it reads.
 */
package tamarindroute.forms;
