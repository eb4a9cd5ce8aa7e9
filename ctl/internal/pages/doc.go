// Package pages generates the reference page of declarations and settings from their JSON schemas.
package pages
