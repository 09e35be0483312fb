// Package cacheowner remembers, for the chats whose home is here, which sides hold their prefix.
package cacheowner
