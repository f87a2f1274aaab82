/**
 * The configuration of a gatherer, read from a JSON file and checked as a whole before any of it is used.
 *
 * <p>{@link pepperdock.config.Config} represents the file; a class for each subsystem holds its keys, defaults and
 * units. {@link pepperdock.config.DeploymentSettingsReader} reads the settings of the platform. A value that can't be
 * used causes a {@link pepperdock.config.ConfigException}, whose message begins with the faulty key. All configuration
 * objects are immutable and may be read on any thread.
 */
package pepperdock.config;
