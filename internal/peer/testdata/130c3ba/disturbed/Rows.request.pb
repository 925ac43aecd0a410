
shared/