package disk

// OpenWith is Open with a function that syncs files.
var OpenWith = openWith
