/**
 * The configuration of a gatherer, read from a JSON file and checked whole before any of it is used.
 *
 * <p>{@link pepperdock.config.Config} is the file, with a class for each subsystem that holds its keys, defaults and units;
 * {@link pepperdock.config.DeploymentSettingsReader} reads the platform's settings. Whatever can't be used is a
 * {@link pepperdock.config.ConfigException}, whose message begins with the faulty key. All of it is immutable, and may be read
 * on any thread.
 */
package pepperdock.config;
