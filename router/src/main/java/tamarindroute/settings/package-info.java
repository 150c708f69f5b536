/**
 * The settings that the platform gives an instance at its start, the same for all front ends.
 *
 * <p>Settings are values by dotted keys, as the simulator's lines spell them; {@code host} brings a
 * configuration file into that form. {@link tamarindroute.settings.SettingsKeys} is the only place
 * that spells keys and keywords, {@link tamarindroute.settings.SettingsReader} decodes them into
 * the terms of {@code decision}, and {@link tamarindroute.settings.SettingsValidator} refuses
 * values by which no gateway could work.
 */
package tamarindroute.settings;
