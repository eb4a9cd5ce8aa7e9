// Package pages renders the reference page of declarations and settings from their schemas.
package pages
